/**
 * Wire formats between a node and its callers, upstreams and operators: HTTP header fields and JSON bodies whose names
 * a deployment may choose, and a default choice of these names.
 */
package org.copperspindle.dialect;
