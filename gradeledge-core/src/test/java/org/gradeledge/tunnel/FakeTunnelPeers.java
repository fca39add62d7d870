package org.gradeledge.tunnel;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Predicate;
import reactor.core.publisher.Mono;

/** Boxes that are always available and answer as the test sets. */
final class FakeTunnelPeers implements TunnelPeers {

  private final List<String> boxes;
  private final Predicate<String> inOwnZone;
  private final BiFunction<String, TunnelRequest, Mono<TunnelOffer>> answer;
  private final List<String> asked = new ArrayList<>();

  FakeTunnelPeers(
      List<String> boxes,
      Predicate<String> inOwnZone,
      BiFunction<String, TunnelRequest, Mono<TunnelOffer>> answer) {
    this.boxes = boxes;
    this.inOwnZone = inOwnZone;
    this.answer = answer;
  }

  /** Returns the boxes that were asked, in order. */
  List<String> asked() {
    return asked;
  }

  @Override
  public List<String> available() {
    return boxes;
  }

  @Override
  public boolean isInOwnZone(String box) {
    return inOwnZone.test(box);
  }

  @Override
  public boolean isAvailable(String box) {
    return true;
  }

  @Override
  public Mono<TunnelOffer> request(String box, TunnelRequest request, Duration timeout) {
    asked.add(box);
    return answer.apply(box, request);
  }

  @Override
  public void onLost(Consumer<String> listener) {}
}
