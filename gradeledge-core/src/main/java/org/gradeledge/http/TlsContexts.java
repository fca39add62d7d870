package org.gradeledge.http;

import io.netty.handler.ssl.ApplicationProtocolConfig;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.util.Optional;
import javax.net.ssl.SSLException;
import org.gradeledge.settings.TlsSettings;

/**
 * Builds TLS contexts from settings.
 *
 * @since 0.1
 */
public abstract class TlsContexts {

  private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

  private TlsContexts() {}

  /** Returns the server context, empty for plain text. */
  public static Optional<SslContext> server(Optional<TlsSettings> settings) {
    return settings.map(
        tls ->
            build(
                SslContextBuilder.forServer(
                    tls.certificateFile().toFile(), tls.keyFile().toFile())));
  }

  /** Returns the context of an HTTP server that negotiates HTTP/2 by ALPN, empty for plain text. */
  public static Optional<SslContext> httpServer(Optional<TlsSettings> settings) {
    return settings.map(
        tls ->
            build(
                SslContextBuilder.forServer(tls.certificateFile().toFile(), tls.keyFile().toFile())
                    .applicationProtocolConfig(
                        new ApplicationProtocolConfig(
                            ApplicationProtocolConfig.Protocol.ALPN,
                            ApplicationProtocolConfig.SelectorFailureBehavior.NO_ADVERTISE,
                            ApplicationProtocolConfig.SelectedListenerFailureBehavior.ACCEPT,
                            "h2",
                            "http/1.1"))));
  }

  /** Returns a client context that trusts only the configured certificate. */
  public static Optional<SslContext> client(Optional<TlsSettings> settings) {
    return settings.map(
        tls ->
            build(
                SslContextBuilder.forClient()
                    .endpointIdentificationAlgorithm(null)
                    .trustManager(tls.certificateFile().toFile())));
  }

  private static SslContext build(SslContextBuilder builder) {
    try {
      return builder.protocols(PROTOCOLS).build();
    } catch (SSLException e) {
      throw new IllegalArgumentException("certificate and key must be matching PEM files", e);
    }
  }
}
