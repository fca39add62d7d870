/**
 * Shared parts of the HTTP interfaces for callers and operators: body limits, tokens, TLS, replies.
 */
@NullMarked
package org.gradeledge.http;

import org.jspecify.annotations.NullMarked;
