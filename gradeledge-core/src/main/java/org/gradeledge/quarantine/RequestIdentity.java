package org.gradeledge.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * The parts of a request that identify it at any box. The request id, the deadline, the connection
 * and the resume position of a stream differ between attempts and are excluded. The account is
 * included, so that a request of one account cannot be taken for that of another.
 *
 * @param account name of the client account; empty if there is none
 * @param method HTTP method
 * @param host host as written in the configuration, without a port added by the caller
 * @param uri path with query
 * @param body complete body
 * @since 0.3
 */
public record RequestIdentity(String account, String method, String host, String uri, byte[] body)
    implements SuspectIdentity {

  /**
   * Returns a cheap hash that does not read the body. The body is only hashed when a suspect
   * request has the same value.
   */
  @Override
  public int shapeHash() {
    return (host.hashCode() * 31 + uri.hashCode()) * 31 + body.length;
  }

  /** Returns the fingerprint, after hashing the whole body. */
  @Override
  public RequestFingerprint fingerprint() {
    MessageDigest digest = Sha256.newDigest();
    update(digest, account);
    update(digest, method);
    update(digest, host);
    update(digest, uri);
    ByteBuffer bytes = ByteBuffer.wrap(digest.digest(body));
    return new RequestFingerprint(bytes.getLong(), bytes.getLong(), shapeHash());
  }

  /**
   * Prefixes each text with its length, so that different lists of texts never give the same bytes.
   */
  private static void update(MessageDigest digest, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
    digest.update(bytes);
  }

  @Override
  public int breadth() {
    return 0;
  }

  @Override
  public String toString() {
    return "RequestIdentity[" + method + " " + host + uri + "]";
  }
}
