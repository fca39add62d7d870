/** Format and validation of pipeline files, and the registry of active and prepared versions. */
@NullMarked
package org.gradeledge.configuration;

import org.jspecify.annotations.NullMarked;
