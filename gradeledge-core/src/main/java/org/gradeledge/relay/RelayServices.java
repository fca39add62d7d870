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
 * @param loop where all of it happens
 * @param clock monotonic clock
 * @param deployments configuration in force
 * @param upstreams upstreams that are known
 * @param board their load and health
 * @param chooser chooses among them
 * @param sending tells which of them takes one more request of this box now
 * @param budget what may be sent again
 * @param caller sends requests to them
 * @param ends tells whether one that broke a call off has ended
 * @param quarantine holds back requests that end upstreams
 * @param trials tells when one that is held back is tried once more
 * @param protocol how requests look on the wire
 * @param stages has stage work done
 * @param metrics counts
 * @param events log
 * @since 0.2
 */
public record RelayServices(
    String zone,
    EventLoop loop,
    MonotonicClock clock,
    DeploymentRegistry deployments,
    UpstreamRegistry upstreams,
    UpstreamLoads board,
    UpstreamChooser chooser,
    SendLimiter sending,
    RetryBudget budget,
    UpstreamCaller caller,
    LivenessChecker ends,
    Quarantine quarantine,
    QuarantineTrials trials,
    RelayProtocol protocol,
    StageWorkClient stages,
    RelayMetrics metrics,
    EventLog events) {}
