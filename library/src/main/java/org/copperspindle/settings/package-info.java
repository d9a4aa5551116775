/**
 * Typed reading of INI settings files, with error messages that name file, section and key.
 */
package org.copperspindle.settings;
