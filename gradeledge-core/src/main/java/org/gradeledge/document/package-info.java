/** Reading and writing of JSON, with schema validation of documents. */
@NullMarked
package org.gradeledge.document;

import org.jspecify.annotations.NullMarked;
