package org.gradeledge.node;

import io.vavr.control.Either;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.follow.TableRow;

/**
 * Reads a row of the list of upstreams.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface UpstreamRowReader {

  /** Returns the upstream, or the reason why the row cannot be read. */
  Either<String, UpstreamRecord> read(TableRow row);
}
