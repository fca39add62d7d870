package org.gradeledge.deployment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class RouteTableTests {

  private final RouteTable table =
      new RouteTable(
          List.of(
              TestDeployments.route("one.example", "/a/", Repeatability.ONCE),
              TestDeployments.route("one.example", "/a/b/", Repeatability.REPEATABLE),
              TestDeployments.route("two.example", "/a/", Repeatability.STREAM)));

  @Test
  void findsLongestPrefix() {
    assertThat(table.find("one.example", "/a/b/c").map(RouteDefinition::pathPrefix))
        .contains("/a/b/");
    assertThat(table.find("one.example", "/a/bc").map(RouteDefinition::pathPrefix)).contains("/a/");
  }

  @Test
  void distinguishesHostsWithSamePrefix() {
    assertThat(table.find("two.example", "/a/b/c").map(RouteDefinition::host))
        .contains("two.example");
  }

  @Test
  void ignoresCaseAndPortOfHost() {
    assertThat(table.find("ONE.example:8080", "/a/x")).isPresent();
  }

  @Test
  void findsNoRouteForUnknownPathOrHost() {
    assertThat(table.find("one.example", "/b/")).isEmpty();
    assertThat(table.find("three.example", "/a/")).isEmpty();
  }

  @Test
  void distributesRequestsByWeight() {
    RouteDefinition route =
        new RouteDefinition(
            "r",
            "h",
            "/",
            Repeatability.ONCE,
            1,
            1,
            0,
            1,
            List.of(new WeightedService("most", 90), new WeightedService("few", 10)),
            List.of(),
            true);

    long few =
        java.util.stream.IntStream.range(0, 1_000)
            .filter(draw -> route.selectService(draw).equals("few"))
            .count();

    assertThat(few).isEqualTo(100);
  }
}
