package org.ragwortbank.core.serving

/** The parts of a prompt that other requests may have too: all but the last, which belongs to its request alone. */
interface PromptParts {
    /** Their IDs in order; a prompt may have as many as the head of its request holds. */
    fun ids(): Sequence<PromptPartId>

    /** Parts that are listed as they are. */
    data class Listed(private val list: List<PromptPartId>) : PromptParts {
        override fun ids(): Sequence<PromptPartId> = list.asSequence()
    }

    companion object {
        /** A prompt without such parts. */
        val NONE: PromptParts = Listed(emptyList())
    }
}
