package org.gradeledge.settings;

import java.nio.file.Path;

/**
 * Port for other boxes and the shared secret.
 *
 * @param listen address to listen on
 * @param secretFile file whose trimmed content, at least 16 characters, is the secret
 * @since 0.1
 */
public record PeerSettings(ListenSettings listen, Path secretFile) {}
