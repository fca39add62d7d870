package org.gradeledge.mesh;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.gradeledge.tunnel.TunnelOffer;
import org.gradeledge.tunnel.TunnelPeers;
import org.gradeledge.tunnel.TunnelRequest;
import reactor.core.publisher.Mono;

/** The boxes of the mesh as those that may provide tunnels. Confined to the event loop. */
final class MeshTunnelPeers implements TunnelPeers {

  private final String self;
  private final String zone;
  private final PeerTable peers;
  private final MeshConnections connections;

  MeshTunnelPeers(String self, String zone, PeerTable peers, MeshConnections connections) {
    this.self = self;
    this.zone = zone;
    this.peers = peers;
    this.connections = connections;
  }

  @Override
  public List<String> available() {
    return peers.available().stream().filter(box -> !box.equals(self)).toList();
  }

  @Override
  public boolean isInOwnZone(String box) {
    return peers.zoneOf(box).filter(zone::equals).isPresent();
  }

  @Override
  public boolean isAvailable(String box) {
    return peers.available().contains(box);
  }

  @Override
  public Mono<TunnelOffer> request(String box, TunnelRequest request, Duration timeout) {
    return connections.request(box, MeshMessages.TUNNEL, request, TunnelOffer.class, timeout);
  }

  @Override
  public void onLost(Consumer<String> listener) {
    peers.onLost(listener);
  }
}
