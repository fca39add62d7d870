package org.gradeledge.node;

import org.gradeledge.batch.StageProtocol;
import org.gradeledge.connection.SignalReader;
import org.gradeledge.deployment.DeploymentReader;
import org.gradeledge.follow.RevisionedTable;
import org.gradeledge.follow.WritableTable;
import org.gradeledge.inspection.RunReportProtocol;
import org.gradeledge.relay.RelayProtocol;

/**
 * Adapters between a box and the platform on which it runs.
 *
 * @param relayProtocol encodes requests to upstreams
 * @param stageProtocol encodes calls for stage work
 * @param runReportProtocol encodes requests for reports of upstreams on their runs
 * @param signalReader reads signals of upstreams from the headers of their answers
 * @param deploymentReader reads configuration documents
 * @param upstreamRowReader reads rows of the list of upstreams
 * @param operatorRowReader interprets rows of the operator's table
 * @param operatorTable table with the current configuration document and evacuations
 * @param upstreamTable table with the list of upstreams
 * @param verdictTable table with the quarantined requests, specific to the deployment
 * @param originTable table with the origins of streams, specific to the deployment
 * @since 0.2
 */
public record RelayAdapters(
    RelayProtocol relayProtocol,
    StageProtocol stageProtocol,
    RunReportProtocol runReportProtocol,
    SignalReader signalReader,
    DeploymentReader deploymentReader,
    UpstreamRowReader upstreamRowReader,
    OperatorRowReader operatorRowReader,
    RevisionedTable operatorTable,
    RevisionedTable upstreamTable,
    WritableTable verdictTable,
    WritableTable originTable) {}
