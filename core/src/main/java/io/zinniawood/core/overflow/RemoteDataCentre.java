package io.zinniawood.core.overflow;

/**
 * Another data centre as a possible destination of requests.
 *
 * @param room its room for whole paths
 * @param link condition of the link to it, as the worse one of both directions
 * @param joinedRoomTokens tokens that are free for paths over its endpoints and those of the own
 *     data centre together
 */
public record RemoteDataCentre(DataCentreRoom room, LinkCondition link, double joinedRoomTokens) {}
