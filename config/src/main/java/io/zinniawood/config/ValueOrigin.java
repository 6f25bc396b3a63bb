package io.zinniawood.config;

/**
 * File and line that set a merged value.
 *
 * @param file file name
 * @param line line, counted from 1
 * @param value value as text
 */
public record ValueOrigin(String file, int line, String value) {}
