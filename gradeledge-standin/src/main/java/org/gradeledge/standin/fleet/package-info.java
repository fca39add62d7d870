/** Stand-ins for the store and the engines of the users' platform, with fault injection. */
@NullMarked
package org.gradeledge.standin.fleet;

import org.jspecify.annotations.NullMarked;
