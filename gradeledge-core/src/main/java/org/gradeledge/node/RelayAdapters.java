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
 * @param relayProtocol how requests look on the wire
 * @param stageProtocol how calls for stage work look on the wire
 * @param signalReader how upstreams say what the heads of their answers tell of themselves
 * @param deploymentReader reads configuration documents
 * @param upstreamRowReader reads rows of the list of upstreams
 * @param operatorRowReader tells what rows of the table of orders mean
 * @param operatorTable holds what the operator orders: the newest configuration document,
 *     evacuations
 * @param upstreamTable holds the list of upstreams
 * @param verdictTable holds the requests that are held back; the deployment's own
 * @since 0.2
 */
public record RelayAdapters(
    RelayProtocol relayProtocol,
    StageProtocol stageProtocol,
    SignalReader signalReader,
    DeploymentReader deploymentReader,
    UpstreamRowReader upstreamRowReader,
    OperatorRowReader operatorRowReader,
    RevisionedTable operatorTable,
    RevisionedTable upstreamTable,
    WritableTable verdictTable) {}
