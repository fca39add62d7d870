package org.gradeledge.quarantine;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Creates SHA-256 digests. */
final class Sha256 {

  private Sha256() {}

  static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
