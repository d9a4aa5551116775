/**
 * INI settings: typed reading with errors that name file, section and key.
 */
package org.copperspindle.settings;
