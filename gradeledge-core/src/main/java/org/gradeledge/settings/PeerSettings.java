package org.gradeledge.settings;

import java.nio.file.Path;

/**
 * The port for other boxes and the secret that they share.
 *
 * @param listen where to listen
 * @param secretFile file whose trimmed content is the shared secret, at least 16 bytes
 * @since 0.1
 */
public record PeerSettings(ListenSettings listen, Path secretFile) {}
