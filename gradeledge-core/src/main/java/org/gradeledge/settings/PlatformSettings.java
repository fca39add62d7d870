package org.gradeledge.settings;

import java.net.URI;

/**
 * Addresses of the platform's services.
 *
 * @param table base URI of the table service
 * @param objects base URI of the object store
 * @param boxes base URI of the box list
 * @since 0.1
 */
public record PlatformSettings(URI table, URI objects, URI boxes) {}
