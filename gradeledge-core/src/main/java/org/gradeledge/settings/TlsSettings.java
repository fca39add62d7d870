package org.gradeledge.settings;

import java.nio.file.Path;

/**
 * PEM files of the certificate chain and private key of a port.
 *
 * @param certificateFile certificate chain, starting with the server certificate
 * @param keyFile private key in PKCS#8, never logged
 * @since 0.1
 */
public record TlsSettings(Path certificateFile, Path keyFile) {}
