/**
 * Origins of streams: which service and software version began a stream, so that it is resumed only
 * where its rest can be produced. Independent of network and event loop.
 */
@NullMarked
package org.gradeledge.resumption;

import org.jspecify.annotations.NullMarked;
