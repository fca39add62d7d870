package org.gradeledge.settings;

import java.nio.file.Path;

/**
 * Where a port finds its certificate chain and private key, both PEM files.
 *
 * @param certificateFile certificate chain, the server's own first
 * @param keyFile private key in PKCS#8, never logged
 * @since 0.1
 */
public record TlsSettings(Path certificateFile, Path keyFile) {}
