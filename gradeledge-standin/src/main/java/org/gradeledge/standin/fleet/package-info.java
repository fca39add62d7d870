/**
 * Stand-ins of the users' platform, with fault switches: its store and its engines, as their
 * published protocol describes them.
 */
@NullMarked
package org.gradeledge.standin.fleet;

import org.jspecify.annotations.NullMarked;
