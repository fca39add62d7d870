package org.gradeledge.routing;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.gradeledge.configuration.UpstreamDefinition;
import org.gradeledge.time.MonotonicClock;

/**
 * The states of all upstreams that this box knows, by address. Thread-safe.
 *
 * @since 0.1
 */
public final class UpstreamDirectory {

  private final Map<InetSocketAddress, UpstreamState> states = new ConcurrentHashMap<>();
  private final MonotonicClock clock;

  /** Creates an empty directory. */
  public UpstreamDirectory(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Returns the state of an upstream, a new one where it was not known. */
  public UpstreamState state(UpstreamDefinition definition) {
    return states.computeIfAbsent(
        definition.address(), address -> new UpstreamState(definition, clock));
  }

  /** Takes over the upstreams that are in force; states of all others are dropped. */
  public void retain(List<UpstreamDefinition> definitions) {
    definitions.forEach(definition -> state(definition).updateDefinition(definition));
    states.keySet().retainAll(definitions.stream().map(UpstreamDefinition::address).toList());
  }

  /** Returns the state of the upstream at an address, if it is known. */
  public Optional<UpstreamState> findByAddress(String host, int port) {
    return Optional.ofNullable(states.get(new InetSocketAddress(host, port)));
  }

  /** Returns all states. */
  public Collection<UpstreamState> all() {
    return states.values();
  }
}
