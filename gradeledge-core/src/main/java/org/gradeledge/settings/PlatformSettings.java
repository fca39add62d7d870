package org.gradeledge.settings;

import java.net.URI;

/**
 * Where the platform's services are.
 *
 * @param table base address of the table service
 * @param objects base address of the object store
 * @param boxes base address of the box list
 * @since 0.1
 */
public record PlatformSettings(URI table, URI objects, URI boxes) {}
