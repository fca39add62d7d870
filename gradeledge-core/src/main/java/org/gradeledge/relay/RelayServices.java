package org.gradeledge.relay;

import io.netty.channel.EventLoop;
import org.gradeledge.batch.StageWorkClient;
import org.gradeledge.connection.LivenessChecker;
import org.gradeledge.connection.UpstreamCaller;
import org.gradeledge.deployment.DeploymentRegistry;
import org.gradeledge.discovery.UpstreamRegistry;
import org.gradeledge.event.EventLog;
import org.gradeledge.limit.SendLimiter;
import org.gradeledge.quarantine.Quarantine;
import org.gradeledge.quarantine.QuarantineTrials;
import org.gradeledge.retry.RetryBudget;
import org.gradeledge.selection.UpstreamChooser;
import org.gradeledge.selection.UpstreamLoads;
import org.gradeledge.time.MonotonicClock;

/**
 * What all requests of a box share.
 *
 * @param zone availability zone of the box
 * @param eventLoop where all of it happens
 * @param clock monotonic clock
 * @param deployments configuration in force
 * @param upstreams upstreams that are known
 * @param loads their load and health
 * @param chooser chooses among them
 * @param sendingRule tells which of them takes one more request of this box now
 * @param retryBudget what may be sent again
 * @param upstreamCaller sends requests to them
 * @param crashDetector tells whether one that broke a call off has ended
 * @param quarantine holds back requests that end upstreams
 * @param trials tells when one that is held back is tried once more
 * @param protocol how requests look on the wire
 * @param stageWorkClient has stage work done
 * @param metrics counts
 * @param events log
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
    SendLimiter sendingRule,
    RetryBudget retryBudget,
    UpstreamCaller upstreamCaller,
    LivenessChecker crashDetector,
    Quarantine quarantine,
    QuarantineTrials trials,
    RelayProtocol protocol,
    StageWorkClient stageWorkClient,
    RelayMetrics metrics,
    EventLog events) {}
