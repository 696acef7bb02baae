package org.ragwortbank.core.sidecar

/** State of an adapter in the engine, as the sidecar knows it. */
enum class AdapterState {
    /** A load command was sent to the engine. */
    LOADING,

    /** The adapter is loaded in the engine. */
    RESIDENT,

    /** An unload command was sent to the engine. */
    UNLOADING,

    /** The last load failed; the adapter occupies no slot. */
    FAILED,
}
