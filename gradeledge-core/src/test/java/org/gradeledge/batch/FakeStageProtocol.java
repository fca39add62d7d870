package org.gradeledge.batch;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import org.gradeledge.connection.ConnectionReuse;
import org.gradeledge.connection.OutgoingRequest;
import org.gradeledge.discovery.UpstreamRecord;

/** Items and results as words between blanks: {@code request:index}, and a handle or a kind. */
final class FakeStageProtocol implements StageProtocol {

  @Override
  public OutgoingRequest encodeCall(UpstreamRecord target, List<CallItem> items) {
    return request(
        "/run",
        items.stream()
            .map(item -> item.group().requestId() + ":" + item.index())
            .collect(Collectors.joining(" ")));
  }

  @Override
  public Either<String, List<PieceResult>> decodeAnswer(byte[] body, int items) {
    String[] words = new String(body, StandardCharsets.UTF_8).split(" ");
    return words.length == items
        ? Either.right(Arrays.stream(words).map(FakeStageProtocol::result).toList())
        : Either.left("expected " + items + " words");
  }

  private static PieceResult result(String word) {
    return word.contains("/")
        ? new PieceResult(PieceResult.Kind.MADE, Optional.of(word))
        : new PieceResult(
            PieceResult.Kind.valueOf(word.toUpperCase(Locale.ROOT)), Optional.empty());
  }

  @Override
  public OutgoingRequest encodeRelease(UpstreamRecord target, List<String> handles) {
    return request("/free", String.join(" ", handles));
  }

  @Override
  public String addressOf(String handle) {
    return handle.substring(0, handle.indexOf('/'));
  }

  private static OutgoingRequest request(String path, String body) {
    return new OutgoingRequest(
        HttpMethod.POST,
        path,
        new DefaultHttpHeaders(),
        body.getBytes(StandardCharsets.UTF_8),
        Optional.empty(),
        ConnectionReuse.ANY);
  }
}
