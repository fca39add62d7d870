package org.gradeledge.tunnel;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.gradeledge.connection.DirectDialer;
import org.gradeledge.connection.PathCheck;
import org.gradeledge.connection.TunnelConnector;
import org.gradeledge.discovery.UpstreamRecord;
import org.gradeledge.selection.RendezvousHash;
import org.gradeledge.time.MonotonicClock;

/**
 * Connects to upstreams through other boxes. Asks one box of the same zone first and then boxes of
 * other zones, as a partition may affect a whole zone; upstreams are spread over the boxes by
 * rendezvous hashing. Boxes that could not help are asked last for a while. Confined to the event
 * loop.
 *
 * @since 0.3
 */
public final class TunnelClient implements TunnelConnector {

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

  /** Time for which a box that could not help is asked last. */
  private static final Duration AVOIDANCE = Duration.ofSeconds(1);

  /** The path from another box to an incarnation of an upstream. */
  private record FailedPath(String box, String incarnationId) {}

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final DirectDialer dialer;
  private final TunnelPeers peers;
  private final Map<FailedPath, Long> failedNanos = new HashMap<>();
  private final Map<String, Set<Channel>> openByBox = new HashMap<>();
  private long openedCount;

  /** Creates a client without tunnels. */
  public TunnelClient(
      EventLoop loop, MonotonicClock clock, DirectDialer dialer, TunnelPeers peers) {
    this.loop = loop;
    this.clock = clock;
    this.dialer = dialer;
    this.peers = peers;
    peers.onLost(this::closeTunnelsThrough);
  }

  /** Returns the number of tunnels opened so far. */
  public long openedCount() {
    return openedCount;
  }

  @Override
  public void connect(UpstreamRecord target, Consumer<Result> listener) {
    search(
        target,
        true,
        (box, offer) -> {
          if (offer.hasTunnel()) {
            open(box, target, offer, listener);
          } else {
            listener.accept(new Result(offer.check(), Optional.empty()));
          }
        });
  }

  @Override
  public void check(UpstreamRecord target, Consumer<PathCheck> listener) {
    search(target, false, (box, offer) -> listener.accept(offer.check()));
  }

  private void search(UpstreamRecord target, boolean keep, TunnelSearch.Listener listener) {
    TunnelRequest request = new TunnelRequest(target.incarnationId(), keep);
    new TunnelSearch(
            peers,
            loop,
            request,
            candidates(target),
            (box, check) -> recordFailure(box, target),
            listener)
        .start();
  }

  private List<String> candidates(UpstreamRecord target) {
    List<String> available = peers.available();
    Set<String> avoided =
        available.stream().filter(box -> isAvoided(box, target)).collect(Collectors.toSet());
    List<String> ranked =
        available.stream()
            .sorted(
                Comparator.comparing((String box) -> avoided.contains(box))
                    .thenComparing(RendezvousHash.byRank(target.id())))
            .toList();
    return Stream.of(
            ranked.stream()
                .filter(peers::isInOwnZone)
                .limit(1)
                .filter(box -> !avoided.contains(box)),
            ranked.stream().filter(box -> !peers.isInOwnZone(box)),
            ranked.stream().filter(peers::isInOwnZone))
        .flatMap(Function.identity())
        .distinct()
        .toList();
  }

  private boolean isAvoided(String box, UpstreamRecord target) {
    Long failed = failedNanos.get(new FailedPath(box, target.incarnationId()));
    return failed != null && clock.nanos() - failed < AVOIDANCE.toNanos();
  }

  /** Records that a box could not connect to an upstream. */
  private void recordFailure(String box, UpstreamRecord target) {
    long now = clock.nanos();
    failedNanos.values().removeIf(failed -> now - failed >= AVOIDANCE.toNanos());
    failedNanos.put(new FailedPath(box, target.incarnationId()), now);
  }

  private void open(
      String box, UpstreamRecord target, TunnelOffer offer, Consumer<Result> listener) {
    String host = box.substring(0, box.lastIndexOf(':'));
    dialer
        .connect(host, offer.port(), CONNECT_TIMEOUT)
        .addListener(
            (ChannelFuture opened) -> {
              if (opened.isSuccess()) {
                listener.accept(start(box, offer, opened.channel()));
              } else {
                recordFailure(box, target);
                listener.accept(new Result(PathCheck.UNAVAILABLE, Optional.empty()));
              }
            });
  }

  private Result start(String box, TunnelOffer offer, Channel channel) {
    openedCount++;
    openByBox.computeIfAbsent(box, name -> new HashSet<>()).add(channel);
    channel.closeFuture().addListener(closed -> removeTunnel(box, channel));
    TunnelFrames.addDecoder(channel.pipeline());
    channel.writeAndFlush(Unpooled.copiedBuffer(offer.ticket(), StandardCharsets.US_ASCII));
    Tunnel tunnel = new Tunnel(channel, box, () -> peers.isAvailable(box));
    return new Result(PathCheck.REACHED, Optional.of(tunnel));
  }

  private void removeTunnel(String box, Channel channel) {
    openByBox.computeIfPresent(
        box,
        (name, open) -> {
          open.remove(channel);
          return open.isEmpty() ? null : open;
        });
  }

  private void closeTunnelsThrough(String box) {
    Set.copyOf(openByBox.getOrDefault(box, Set.of())).forEach(Channel::close);
  }
}
