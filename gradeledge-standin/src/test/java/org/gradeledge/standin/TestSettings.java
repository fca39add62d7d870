package org.gradeledge.standin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import org.gradeledge.configuration.TextDigest;

/** Settings of boxes in tests: all bounds shorter than in use, in the same proportions. */
abstract class TestSettings {

  static final String OPERATOR_TOKEN = "token of the operator";

  static final int CONNECTIONS = 200;

  private TestSettings() {}

  static byte[] text(String boxId, int platformPort, Path secret) {
    ObjectNode settings = JsonNodeFactory.instance.objectNode();
    settings.put("boxId", boxId).put("availabilityZone", "sofia-1");
    settings.set("caller", listen());
    settings.set("operator", listen());
    settings.putObject("peer").put("secretFile", secret.toString()).set("listen", listen());
    String address = "http://127.0.0.1:" + platformPort;
    settings
        .putObject("platform")
        .put("table", address)
        .put("objects", address)
        .put("boxes", address);
    settings
        .putArray("operators")
        .addObject()
        .put("name", "petya")
        .put("tokenSha256", TextDigest.sha256(OPERATOR_TOKEN));
    settings
        .putObject("timing")
        .put("membershipBoundMs", 2_000)
        .put("prepareBoundMs", 1_000)
        .put("doubtBoundMs", 1_000)
        .put("heartbeatMs", 100)
        .put("pollMs", 150)
        .put("platformCallMs", 500)
        .put("balancerLagMs", 100);
    settings
        .putObject("limits")
        .put("maxBodyBytes", 4_096)
        .put("maxHeaderBytes", 2_048)
        .put("maxConnections", CONNECTIONS);
    return StandInHttp.toJson(settings);
  }

  private static ObjectNode listen() {
    return JsonNodeFactory.instance.objectNode().put("host", "127.0.0.1").put("port", 0);
  }
}
