package io.zinniawood.core.model;

/**
 * One HTTP header field.
 *
 * @param name field name
 * @param value field value
 */
public record HttpHeader(String name, String value) {}
