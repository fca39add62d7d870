package org.gradeledge.relay;

import io.netty.channel.EventLoop;
import org.gradeledge.batch.StageWorkClient;
import org.gradeledge.connection.LivenessChecker;
import org.gradeledge.connection.UpstreamCaller;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLog;
import org.gradeledge.inspection.RunInspector;
import org.gradeledge.limit.SendLimiter;
import org.gradeledge.quarantine.Quarantine;
import org.gradeledge.quarantine.QuarantineTrials;
import org.gradeledge.resumption.StreamOriginDirectory;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.UpstreamChooser;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;

/**
 * Services shared by all requests of a box.
 *
 * @param zone availability zone of the box
 * @param eventLoop event loop that processes all requests
 * @param clock monotonic clock
 * @param deployments current configuration
 * @param upstreams registered upstreams
 * @param loads load and health of upstreams
 * @param chooser chooses an upstream for a request
 * @param sendLimiter decides whether an upstream accepts one more request of this box
 * @param retryBudget limits retries
 * @param upstreamCaller sends requests to upstreams
 * @param runInspector asks upstreams how far their runs are
 * @param livenessChecker checks whether an upstream has crashed after a lost connection
 * @param quarantine requests that crash upstreams
 * @param trials grants trials of quarantined requests
 * @param streamOrigins where streams began
 * @param protocol wire format of requests and answers
 * @param stageWorkClient submits stage work
 * @param metrics metrics of relayed requests
 * @param events event log
 * @since 0.2
 */
public record RelayServices(
    String zone,
    EventLoop eventLoop,
    MonotonicClock clock,
    DeploymentRegistry deployments,
    UpstreamRegistry upstreams,
    UpstreamLoads loads,
    UpstreamChooser chooser,
    SendLimiter sendLimiter,
    RetryBudget retryBudget,
    UpstreamCaller upstreamCaller,
    RunInspector runInspector,
    LivenessChecker livenessChecker,
    Quarantine quarantine,
    QuarantineTrials trials,
    StreamOriginDirectory streamOrigins,
    RelayProtocol protocol,
    StageWorkClient stageWorkClient,
    RelayMetrics metrics,
    EventLog events) {}
