package org.gradeledge.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class GatheredEventsTests {

  private static final long PAUSE_MILLIS = 50;

  private final List<String> heard = new ArrayList<>();
  private final UpstreamConnection connection =
      new UpstreamConnection(new UpstreamConnections(), Duration.ofMillis(PAUSE_MILLIS));
  private final EmbeddedChannel channel = new EmbeddedChannel(connection);

  @BeforeEach
  void start() {
    channel.freezeTime();
    OutgoingRequest request =
        new OutgoingRequest(
            HttpMethod.GET,
            "/",
            new DefaultHttpHeaders(),
            new byte[0],
            Optional.empty(),
            ConnectionReuse.ANY);
    connection.start(new CallInProgress(request, new Recorder()));
  }

  @Test
  void theFirstEventIsHandedOnAtOnceAndWhatFollowsWaitsAWhile() {
    channel.writeInbound(head("text/event-stream"));
    assertThat(channel.config().isAutoRead()).isTrue();

    channel.writeInbound(part("first"));

    assertThat(heard).containsExactly("head", "first");
    assertThat(channel.config().isAutoRead()).isFalse();
    advance(PAUSE_MILLIS - 1);
    assertThat(channel.config().isAutoRead()).isFalse();
    advance(1);
    assertThat(channel.config().isAutoRead()).isTrue();
  }

  @Test
  void eventsThatAreReadTogetherAreHandedOnTogether() {
    channel.writeInbound(head("text/event-stream"), part("a"), part("b"), part("c"));

    assertThat(heard).containsExactly("head", "abc");
  }

  @Test
  void theEndIsToldAfterAllThatWasRead() {
    channel.writeInbound(head("text/event-stream"), part("a"), part("b"), last("c"));

    assertThat(heard).containsExactly("head", "abc", "complete");
    assertThat(channel.config().isAutoRead()).isTrue();
  }

  @Test
  void whatWasReadIsHandedOnBeforeTheConnectionCountsAsBroken() {
    channel.pipeline().fireChannelRead(head("text/event-stream"));
    channel.pipeline().fireChannelRead(part("a"));
    channel.pipeline().fireChannelInactive();

    assertThat(heard).containsExactly("head", "a", CallFailure.BROKEN.name());
  }

  @Test
  void otherAnswersAreReadWithoutAPause() {
    channel.writeInbound(head("text/plain"), part("a"));

    assertThat(heard).containsExactly("head", "a");
    assertThat(channel.config().isAutoRead()).isTrue();
  }

  private void advance(long millis) {
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  private static DefaultHttpResponse head(String type) {
    DefaultHttpHeaders headers = new DefaultHttpHeaders();
    headers.set("Content-Type", type).set("Transfer-Encoding", "chunked");
    return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, headers);
  }

  private static DefaultHttpContent part(String text) {
    return new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  private static DefaultLastHttpContent last(String text) {
    return new DefaultLastHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  /** Notes what it hears. */
  private final class Recorder implements CallListener {

    @Override
    public void onHead(int status, HttpHeaders headers) {
      heard.add("head");
    }

    @Override
    public void onContent(ByteBuf content) {
      heard.add(content.toString(StandardCharsets.UTF_8));
    }

    @Override
    public void onComplete() {
      heard.add("complete");
    }

    @Override
    public void onFailure(CallFailure failure) {
      heard.add(failure.name());
    }
  }
}
