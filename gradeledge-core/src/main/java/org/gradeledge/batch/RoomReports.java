package org.gradeledge.batch;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.gradeledge.connection.AnswerBody;
import org.gradeledge.connection.CallFailure;
import org.gradeledge.connection.CallListener;
import org.gradeledge.connection.UpstreamCall;
import org.gradeledge.discovery.UpstreamRecord;

/**
 * How much room at the upstreams of a service is taken by results that this box does not know of: a
 * box that made calls before and ended leaves them behind. An upstream that this box has not called
 * for a while is asked before it is called again. Confined to the event loop.
 */
final class RoomReports {

  private static final int HTTP_OK = 200;
  private static final int MOST_BYTES = 16 * 1024;
  private static final long NANOS_OF_MILLI = 1_000_000;

  /** Nobody else is likely to have called an upstream in such a time. */
  private static final long ALONE_MILLIS = 1_000;

  /** Room that others take is given back bit by bit. */
  private static final long SHARED_MILLIS = 250;

  /** An upstream that answers no question is found out by a call, as others are. */
  private static final long ANSWER_MILLIS = 200;

  /** An upstream that does not tell is called all the same, as it was before. */
  private static final long UNTOLD_MILLIS = 2_000;

  private record Known(long othersBytes, long untilNanos) {}

  private final BatchServices services;
  private final EventLoop loop;
  private final Runnable onTold;
  private final Map<String, Known> knownById = new HashMap<>();
  private final Set<String> asked = new HashSet<>();

  /**
   * Creates reports that know nothing.
   *
   * @param onTold called whenever an upstream has told, or does not tell
   */
  RoomReports(BatchServices services, EventLoop loop, Runnable onTold) {
    this.services = services;
    this.loop = loop;
    this.onTold = onTold;
  }

  /** Returns whether it is known what others take at an upstream. */
  boolean isKnown(String upstreamId) {
    Known known = knownById.get(upstreamId);
    return known != null && known.untilNanos() - services.clock().nanos() > 0;
  }

  /** Returns how many bytes others take at an upstream, zero where that is not known. */
  long othersBytes(String upstreamId) {
    return isKnown(upstreamId) ? knownById.get(upstreamId).othersBytes() : 0;
  }

  /** Notes that this box calls an upstream, or was just answered: nobody else does meanwhile. */
  void called(String upstreamId) {
    Known known = knownById.get(upstreamId);
    if (known != null && known.othersBytes() == 0) {
      note(upstreamId, 0, ALONE_MILLIS);
    }
  }

  /** Notes that what was known of an upstream was wrong. */
  void doubt(String upstreamId) {
    knownById.remove(upstreamId);
  }

  /** Forgets all upstreams but these. */
  void retain(Set<String> upstreamIds) {
    knownById.keySet().retainAll(upstreamIds);
  }

  /**
   * Asks an upstream for the room that it has, unless it is being asked.
   *
   * @param ownBytes what this box knows to be taken there out of all room, when the answer comes
   */
  void ask(UpstreamRecord upstream, LongSupplier ownBytes, long roomBytes) {
    if (!asked.add(upstream.id())) {
      return;
    }
    Question question = new Question(upstream.id(), ownBytes, roomBytes);
    UpstreamCall running =
        services
            .caller()
            .call(upstream, services.protocol().encodeRoomQuestion(upstream), question);
    loop.schedule(() -> question.giveUp(running), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void note(String upstreamId, long othersBytes, long millis) {
    long until = services.clock().nanos() + millis * NANOS_OF_MILLI;
    knownById.put(upstreamId, new Known(othersBytes, until));
  }

  /** Hears what an upstream tells of its room. */
  private final class Question implements CallListener {

    private final String upstreamId;
    private final LongSupplier ownBytes;
    private final long roomBytes;
    private final AnswerBody body = new AnswerBody(MOST_BYTES);
    private int status;
    private boolean over;

    Question(String upstreamId, LongSupplier ownBytes, long roomBytes) {
      this.upstreamId = upstreamId;
      this.ownBytes = ownBytes;
      this.roomBytes = roomBytes;
    }

    @Override
    public void onHead(int answeredStatus, HttpHeaders headers) {
      status = answeredStatus;
    }

    @Override
    public void onContent(ByteBuf content) {
      body.add(content);
    }

    @Override
    public void onComplete() {
      Optional<FreeRoom> free =
          status == HTTP_OK
              ? services.protocol().decodeFreeRoom(body.bytes()).toJavaOptional()
              : Optional.empty();
      free.ifPresentOrElse(this::told, this::untold);
    }

    @Override
    public void onFailure(CallFailure failure) {
      untold();
    }

    void giveUp(UpstreamCall running) {
      if (!over) {
        running.cancel();
        untold();
      }
    }

    private void told(FreeRoom free) {
      long others = free.missingOf(roomBytes - ownBytes.getAsLong());
      note(upstreamId, others, others > 0 ? SHARED_MILLIS : ALONE_MILLIS);
      if (others > 0) {
        services
            .events()
            .change("room-taken-by-others")
            .with("upstream", upstreamId)
            .with("free-bytes", free.leastBytes())
            .with("others-bytes", others)
            .write();
      }
      over();
    }

    private void untold() {
      note(upstreamId, 0, UNTOLD_MILLIS);
      over();
    }

    private void over() {
      over = true;
      asked.remove(upstreamId);
      loop.execute(onTold);
    }
  }
}
