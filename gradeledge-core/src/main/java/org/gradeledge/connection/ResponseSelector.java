package org.gradeledge.connection;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Selects the response to one call from what an upstream sends while it is in flight; skips
 * informational responses and those to other calls, and refuses content that contains another
 * response. Confined to the event loop.
 */
final class ResponseSelector {

  private static final int MAX_INFORMATIONAL_HEADS = 16;
  private static final long MAX_SKIPPED_BYTES = 16 * 1024 * 1024;

  /** What the content received next belongs to. */
  private enum Current {
    NONE,
    SKIPPED,
    SELECTED
  }

  private final OutgoingRequest request;
  private final CarriedCalls carriedCalls;
  private final Supplier<String> undecoded;
  private final ResponseAnomalyReporter anomalies;
  private Optional<EmbeddedResponseFinder> embedded = Optional.empty();
  private Current current = Current.NONE;
  private int informationalHeads;
  private long skippedBytes;

  /**
   * Creates a selector for one call.
   *
   * @param carriedCalls the calls of the connection, including this one
   * @param undecoded returns what was received after the last decoded message
   */
  ResponseSelector(
      OutgoingRequest request,
      CarriedCalls carriedCalls,
      Supplier<String> undecoded,
      ResponseAnomalyReporter anomalies) {
    this.request = request;
    this.carriedCalls = carriedCalls;
    this.undecoded = undecoded;
    this.anomalies = anomalies;
  }

  /** Returns whether a head is that of the response to the call. */
  boolean selects(HttpResponse response) throws InvalidResponseException {
    Optional<String> defect = ResponseHeadValidator.findDefect(response, request);
    if (defect.isPresent()) {
      throw new InvalidResponseException(defect.get());
    }
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skipInformational();
      return false;
    }
    boolean selected = request.isAnsweredBy(response);
    current = selected ? Current.SELECTED : Current.SKIPPED;
    embedded =
        Optional.of(new EmbeddedResponseFinder(carriedCalls::hasIdIn))
            .filter(finder -> !HttpUtil.isTransferEncodingChunked(response));
    if (!selected) {
      anomalies.reportOtherResponse(response);
    }
    return selected;
  }

  private void skipInformational() throws InvalidResponseException {
    informationalHeads++;
    if (informationalHeads > MAX_INFORMATIONAL_HEADS) {
      throw new InvalidResponseException("more than " + MAX_INFORMATIONAL_HEADS + " 1xx heads");
    }
  }

  /** Returns whether a response to another call is being received. */
  boolean isSkippingResponse() {
    return current == Current.SKIPPED;
  }

  /** Returns whether content belongs to the response to the call. */
  boolean selects(HttpContent content) throws InvalidResponseException {
    if (current != Current.NONE) {
      refuseEmbedded(content);
    }
    if (current == Current.SKIPPED) {
      skip(content);
      return false;
    }
    return current == Current.SELECTED;
  }

  private void refuseEmbedded(HttpContent content) throws InvalidResponseException {
    boolean last = content instanceof LastHttpContent;
    Optional<String> statusLine =
        embedded.flatMap(
            finder ->
                finder
                    .add(content.content())
                    .or(() -> last ? finder.end(undecoded.get()) : Optional.empty()));
    if (statusLine.isPresent()) {
      throw new InvalidResponseException("response inside the body: " + statusLine.get());
    }
  }

  private void skip(HttpContent content) throws InvalidResponseException {
    if (content instanceof LastHttpContent) {
      current = Current.NONE;
    }
    skippedBytes += content.content().readableBytes();
    if (skippedBytes > MAX_SKIPPED_BYTES) {
      throw new InvalidResponseException("over " + MAX_SKIPPED_BYTES + " bytes of other responses");
    }
  }
}
