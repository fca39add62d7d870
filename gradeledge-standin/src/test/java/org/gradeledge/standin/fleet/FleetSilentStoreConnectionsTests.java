package org.gradeledge.standin.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Boxes whose open connections to the store go silent while new ones work. */
@Timeout(120)
class FleetSilentStoreConnectionsTests {

  private static final int BOXES = 3;

  private final Fleet fleet = new Fleet();
  private FleetEngine leaving;
  private FaultyLink storeLink;

  @BeforeEach
  void start() throws Exception {
    storeLink = new FaultyLink(fleet.store().address());
    leaving = fleet.addEngine("plain", EngineKind.PLAIN);
    fleet.addEngine("plain", EngineKind.PLAIN);
    for (int box = 0; box < BOXES; box++) {
      fleet.startBox(storeLink.address());
    }
    for (int box = 0; box < BOXES; box++) {
      fleet.awaitReady(box);
    }
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
    storeLink.close();
  }

  // Guards against upstreams that stay in use since a lost call is taken for an outage.
  @Test
  void removedUpstreamIsGoneAtOnce() throws Exception {
    storeLink.setFault(FaultyLink.Fault.SILENCE_OPEN_CONNECTIONS);

    fleet.store().remove("servers", leaving.id());

    for (int number = 0; number < BOXES; number++) {
      int box = number;
      Fleet.await(() -> fleet.hasLogged(box, "upstream-gone"));
      assertThat(fleet.hasLogged(box, "upstream-lapsed")).as(fleet.allLogs()).isFalse();
    }
  }

  // Guards against a configuration that waits for the time limit of a call that is held.
  @Test
  void newConfigurationIsReadBeforeTheHeldCallTimesOut() throws Exception {
    storeLink.setFault(FaultyLink.Fault.SILENCE_OPEN_CONNECTIONS);

    fleet.configure(2, "");

    for (int number = 0; number < BOXES; number++) {
      int box = number;
      Fleet.await(() -> fleet.countLogged(box, "configuration-in-force") >= 2);
      assertThat(fleet.hasLogged(box, "dependency-lost")).as(fleet.allLogs()).isFalse();
    }
  }
}
