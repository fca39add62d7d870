/** Forms of text in protocols. */
@NullMarked
package org.gradeledge.text;

import org.jspecify.annotations.NullMarked;
