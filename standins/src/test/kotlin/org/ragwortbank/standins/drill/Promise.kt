package org.ragwortbank.standins.drill

/** What operators were promised of a configuration that the store has acknowledged. */
enum class Promise {
    /** Machines in touch handle no request as only an older version allows. */
    IN_FORCE,

    /** A process that has acted on a version does not act on an older one later. */
    NOT_REVERTED,

    /** A withdrawn key runs nothing, at any machine. */
    KEY_WITHDRAWN,

    /** No request is run as no version allows. */
    ALLOWED,

    /** Requests that all versions allow are not denied. */
    NOT_DENIED,

    /** Routes that were added are served like the first ones. */
    ADDED_SERVED,
}
