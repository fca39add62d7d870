package org.gradeledge.node;

import org.gradeledge.batch.StageProtocol;
import org.gradeledge.connection.SignalReader;
import org.gradeledge.deployment.DeploymentReader;
import org.gradeledge.follow.RevisionedTable;
import org.gradeledge.follow.WritableTable;
import org.gradeledge.relay.RelayProtocol;

/**
 * What translates between the box and the platform that it runs on.
 *
 * @param relay how requests look on the wire
 * @param stages how calls for stage work look on the wire
 * @param signals how upstreams say what the heads of their answers tell of themselves
 * @param configurations reads configuration documents
 * @param upstreamReader reads rows of the list of upstreams
 * @param orders tells what rows of the table of orders mean
 * @param orderTable holds what the operator orders: the newest configuration document, evacuations
 * @param upstreamTable holds the list of upstreams
 * @param verdictTable holds the requests that are held back; the deployment's own
 * @since 0.2
 */
public record RelayAdapters(
    RelayProtocol relay,
    StageProtocol stages,
    SignalReader signals,
    DeploymentReader configurations,
    UpstreamRowReader upstreamReader,
    OperatorOrderReader orders,
    RevisionedTable orderTable,
    RevisionedTable upstreamTable,
    WritableTable verdictTable) {}
