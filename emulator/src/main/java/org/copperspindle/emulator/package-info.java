/**
 * Small fakes of upstreams, met over HTTP, with an independent ledger of what they ran.
 */
package org.copperspindle.emulator;
