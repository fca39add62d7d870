/** Reading JSON documents strictly: schema first, one fault for each place that is wrong. */
@NullMarked
package org.gradeledge.document;

import org.jspecify.annotations.NullMarked;
