package org.gradeledge.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * What makes two requests the same, whichever box they come to. The id, the deadline, the
 * connection and what a caller has already seen of a stream differ from try to try and are no part
 * of it. The account is, so that no account can have another one's requests taken for its own.
 *
 * @param account name of the client account; empty where there is none
 * @param method method
 * @param host host that the request is for, as the configuration writes it: callers may add a port
 * @param uri path with its query
 * @param body the whole body
 * @since 0.3
 */
public record RequestIdentity(String account, String method, String host, String uri, byte[] body) {

  /**
   * Returns what can be told at next to no cost. Requests of different shapes are different, so
   * that a body need only be looked at where something of its shape is known.
   */
  public int shapeHash() {
    return (host.hashCode() * 31 + uri.hashCode()) * 31 + body.length;
  }

  /** Returns the fingerprint; the body is read whole. */
  public RequestFingerprint fingerprint() {
    MessageDigest digest = newDigest();
    update(digest, account);
    update(digest, method);
    update(digest, host);
    update(digest, uri);
    ByteBuffer bytes = ByteBuffer.wrap(digest.digest(body));
    return new RequestFingerprint(bytes.getLong(), bytes.getLong(), shapeHash());
  }

  /** The length goes first, so that no two lists of texts give the same bytes. */
  private static void update(MessageDigest digest, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
    digest.update(bytes);
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  @Override
  public String toString() {
    return "RequestIdentity[" + method + " " + host + uri + "]";
  }
}
