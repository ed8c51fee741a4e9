/**
 * Files that operators write: read with the line and column of every key, whatever their format, and what is found
 * wrong with them.
 *
 * <p>May use: files, and the TOML parser in {@code TomlFile} alone; nothing of the relay.
 */
package loftflow.config.file;
