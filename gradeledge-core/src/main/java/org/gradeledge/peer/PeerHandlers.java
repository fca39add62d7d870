package org.gradeledge.peer;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import reactor.core.publisher.Mono;

/** The handlers of a box by message type. Thread-safe. */
final class PeerHandlers {

  private record Registration<T>(PeerMessageType<T> type, PeerHandler<T> handler) {

    Mono<?> handle(PeerCodec codec, PeerIdentity from, byte[] body) {
      return Mono.defer(() -> handler.handle(from, codec.decode(body, type.type())));
    }
  }

  private final Map<String, Registration<?>> registrationsByType = new ConcurrentHashMap<>();
  private final PeerCodec codec;

  PeerHandlers(PeerCodec codec) {
    this.codec = codec;
  }

  <T> void register(PeerMessageType<T> type, PeerHandler<T> handler) {
    registrationsByType.put(type.name(), new Registration<>(type, handler));
  }

  boolean isRegistered(String type) {
    return registrationsByType.containsKey(type);
  }

  /** Returns the answer in MessagePack; unknown messages are passed over, for newer peers' sake. */
  Mono<byte[]> handle(PeerIdentity from, PeerFrame frame) {
    return Optional.<Registration<?>>ofNullable(registrationsByType.get(frame.type()))
        .<Mono<byte[]>>map(
            registration -> registration.handle(codec, from, frame.body()).map(codec::encode))
        .orElseGet(Mono::empty);
  }
}
