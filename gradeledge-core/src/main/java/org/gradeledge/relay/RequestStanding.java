package org.gradeledge.relay;

import org.gradeledge.connection.UpstreamProof;
import org.gradeledge.deployment.ClientAccount;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.quarantine.RequestFingerprint;
import org.jspecify.annotations.Nullable;

/** What is known of upstreams that ended under one request. Confined to the event loop. */
final class RequestStanding {

  private static final String NO_ACCOUNT = "";

  private final RelayServices services;
  private final AdmittedRequest admitted;
  private @Nullable RequestFingerprint fingerprint;

  RequestStanding(RelayServices services, AdmittedRequest admitted) {
    this.services = services;
    this.admitted = admitted;
  }

  /** Notes that a connection on which the request was sent is lost, and looks what that means. */
  void broken(UpstreamRecord upstream) {
    if (!upstream.leaving()) {
      services.ends().prove(upstream, proof -> proved(upstream, proof));
    }
  }

  private void proved(UpstreamRecord upstream, UpstreamProof proof) {
    services
        .events()
        .problem("upstream-broke-off")
        .with("fingerprint", fingerprint().toString())
        .with("request", admitted.request().id())
        .with("upstream", upstream.start())
        .with("service", upstream.service())
        .with("proof", proof.name())
        .write();
  }

  private RequestFingerprint fingerprint() {
    if (fingerprint == null) {
      RelayRequest request = admitted.request();
      fingerprint =
          RequestFingerprint.of(
              admitted.account().map(ClientAccount::name).orElse(NO_ACCOUNT),
              request.method().name(),
              request.host(),
              request.uri(),
              request.body());
    }
    return fingerprint;
  }
}
