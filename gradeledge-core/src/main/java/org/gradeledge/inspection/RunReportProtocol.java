package org.gradeledge.inspection;

import java.util.Optional;
import org.gradeledge.connection.OutgoingRequest;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * Encodes requests for reports of upstreams and decodes the reports.
 *
 * @since 0.6
 */
public interface RunReportProtocol {

  /** Encodes a request for a report, which must be sent on a new connection. */
  OutgoingRequest encodeRequest(UpstreamRecord target);

  /** Decodes an answer; empty if it does not report runs. Never throws. */
  Optional<RunReport> decodeAnswer(int status, byte[] body);
}
