package org.ragwortbank.core.sidecar

/** Where an adapter stands between the weight store and the engine. */
enum class AdapterState {
    /** The engine has been ordered to load it. */
    LOADING,

    /** The engine holds it. */
    RESIDENT,

    /** The engine has been ordered to drop it. */
    UNLOADING,

    /** The last load failed; it takes no slot. */
    FAILED,
}
