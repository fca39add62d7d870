package org.gradeledge.standin.fleet;

/** Forms of the routes that are added while callers send requests. */
enum SoakRouteForm {
  /** Without stages. */
  PLAIN(6_000) {
    @Override
    String route(String prefix) {
      return FleetConfiguration.route(prefix, "idempotent", "plain", "");
    }
  },
  /** A stream with one stage and a target that its work barely meets. */
  STREAM_WITH_SHORT_TARGET(120) {
    @Override
    String route(String prefix) {
      return FleetConfiguration.route(prefix, "streaming", "model", ONE_STAGE);
    }
  },
  /** One stage and a target that is shorter than the work; answers are no streams. */
  WHOLE_ANSWER_WITH_UNREACHABLE_TARGET(10) {
    @Override
    String route(String prefix) {
      return FleetConfiguration.route(prefix, "idempotent", "plain", ONE_STAGE);
    }
  };

  private static final String ONE_STAGE =
      ",\"stages\":[{\"service\":\"stage\",\"after_revision\":[],\"size_bytes\":1000}]";

  private final int targetMillis;

  SoakRouteForm(int targetMillis) {
    this.targetMillis = targetMillis;
  }

  /** Returns the form of the route with the given number. */
  static SoakRouteForm ofRoute(int number) {
    return values()[number % values().length];
  }

  abstract String route(String prefix);

  /** Returns the route with its target time. */
  final String routeWithTarget(String prefix) {
    return route(prefix)
        .replace("\"target_latency_ms\":6000", "\"target_latency_ms\":" + targetMillis);
  }
}
