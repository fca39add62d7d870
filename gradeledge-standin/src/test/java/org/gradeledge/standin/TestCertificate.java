package org.gradeledge.standin;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Base64;

/** A certificate for 127.0.0.1, made anew by the JDK's keytool, as PEM files. */
record TestCertificate(Path certificateFile, Path keyFile) {

  private static final String PASSWORD = "only-for-this-test";

  static TestCertificate make(Path directory) throws IOException, GeneralSecurityException {
    Path store = directory.resolve("store.p12");
    try {
      int exit =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "keytool").toString(),
                  "-genkeypair",
                  "-alias",
                  "box",
                  "-keyalg",
                  "EC",
                  "-storetype",
                  "PKCS12",
                  "-keystore",
                  store.toString(),
                  "-storepass",
                  PASSWORD,
                  "-dname",
                  "CN=box",
                  "-ext",
                  "san=ip:127.0.0.1",
                  "-validity",
                  "2")
              .redirectErrorStream(true)
              .start()
              .waitFor();
      if (exit != 0) {
        throw new AssertionError("keytool ended with " + exit);
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
    KeyStore keys = KeyStore.getInstance("PKCS12");
    try (InputStream in = Files.newInputStream(store)) {
      keys.load(in, PASSWORD.toCharArray());
    }
    Path certificate = directory.resolve("certificate.pem");
    Path key = directory.resolve("key.pem");
    Files.writeString(certificate, pem("CERTIFICATE", keys.getCertificate("box").getEncoded()));
    Files.writeString(
        key, pem("PRIVATE KEY", keys.getKey("box", PASSWORD.toCharArray()).getEncoded()));
    return new TestCertificate(certificate, key);
  }

  private static String pem(String type, byte[] bytes) {
    String text = Base64.getMimeEncoder().encodeToString(bytes);
    return "-----BEGIN " + type + "-----\n" + text + "\n-----END " + type + "-----\n";
  }
}
