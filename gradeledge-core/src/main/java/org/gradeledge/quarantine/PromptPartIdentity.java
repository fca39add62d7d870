package org.gradeledge.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A part of a prompt, whatever else a request with it holds. The client account is not part of it:
 * a part that crashes upstreams does so for all accounts, and a part is cleared by the answers to
 * requests of any account.
 *
 * @param id id of the part, a hexadecimal number
 * @param breadth distance from the end of the prompt, at least 1
 * @since 0.3
 */
public record PromptPartIdentity(String id, int breadth) implements SuspectIdentity {

  private static final String DIGEST_PREFIX = "prompt-part ";

  /** Normalizes the id, so that each spelling of the same number is the same part. */
  public PromptPartIdentity {
    id = id.trim().toLowerCase(Locale.ROOT).replaceFirst("^0+(?=.)", "");
  }

  @Override
  public int shapeHash() {
    return id.hashCode();
  }

  @Override
  public RequestFingerprint fingerprint() {
    byte[] text = (DIGEST_PREFIX + id).getBytes(StandardCharsets.UTF_8);
    ByteBuffer bytes = ByteBuffer.wrap(Sha256.newDigest().digest(text));
    return new RequestFingerprint(bytes.getLong(), bytes.getLong(), shapeHash());
  }
}
