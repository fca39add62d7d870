package org.gradeledge.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.gradeledge.document.JsonMappers;
import org.gradeledge.verdict.RefusalReason;
import org.gradeledge.verdict.Verdict;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.netty.ByteBufFlux;

/**
 * Reads a stream of completion chunks. The stream is complete only if the upstream sent a finish
 * reason; an early end and repeated or missing offsets are reported as incomplete.
 */
final class CompletionStream {

  private static final String DONE = "[DONE]";

  private final UpstreamCall call;
  private final ServerSentEvents events = new ServerSentEvents();
  private long nextOffset;
  private boolean finished;

  private CompletionStream(UpstreamCall call) {
    this.call = call;
    this.nextOffset = call.resumeAfter().isPresent() ? call.resumeAfter().getAsLong() + 1 : 0;
  }

  static Flux<UpstreamEvent> read(UpstreamCall call, ByteBufFlux content) {
    return Flux.using(
        () -> new CompletionStream(call),
        stream ->
            content
                .concatMapIterable(stream.events::accept)
                .<UpstreamEvent>handle(
                    (event, sink) -> {
                      UpstreamEvent upstreamEvent = stream.accept(event);
                      if (upstreamEvent != null) {
                        sink.next(upstreamEvent);
                      }
                    })
                .concatWith(Flux.defer(stream::checkFinished)),
        stream -> stream.events.close());
  }

  private @Nullable UpstreamEvent accept(ServerSentEvents.Event event) {
    if (DONE.equals(event.data()) || finished) {
      return null;
    }
    JsonNode chunk = parse(event.data());
    JsonNode choice = chunk.path("choices").path(0);
    if (choice.hasNonNull("finish_reason")) {
      finished = true;
      JsonNode usage = chunk.path("usage");
      return new UpstreamEvent.Answer(
          JsonNodeFactory.instance.objectNode(),
          usage.path("prompt_tokens").asLong(),
          usage.path("completion_tokens").asLong());
    }
    return token(event.id(), choice.path("text").asText());
  }

  private UpstreamEvent token(String id, String text) {
    if (!String.valueOf(nextOffset).equals(id)) {
      throw incomplete("sent offset " + id + " where " + nextOffset + " was due");
    }
    return new UpstreamEvent.Token(nextOffset++, text);
  }

  private Flux<UpstreamEvent> checkFinished() {
    return finished ? Flux.empty() : Flux.error(incomplete("ended its stream before the end"));
  }

  private JsonNode parse(String data) {
    try {
      return JsonMappers.json().readTree(data);
    } catch (JsonProcessingException e) {
      throw incomplete("sent a chunk that is not JSON");
    }
  }

  private UpstreamException incomplete(String problem) {
    return new UpstreamException(
        Verdict.MAY_HAVE_RUN,
        RefusalReason.ANSWER_INCOMPLETE,
        call.upstream().id() + " " + problem,
        null);
  }
}
