/**
 * Stage work in shared calls: pieces of many requests and boxes meet at one box for each service.
 */
@NullMarked
package org.gradeledge.batch;

import org.jspecify.annotations.NullMarked;
