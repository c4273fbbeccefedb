package org.rattanhead.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Reports all faults of a settings file.
 */
public final class SettingsException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient List<SettingFault> faults;

	/**
	 * Creates an exception with one or more faults.
	 * @param faults the faults; must not be empty
	 */
	public SettingsException(List<SettingFault> faults) {
		super(faults.stream().map(SettingFault::toString).collect(Collectors.joining(System.lineSeparator())));
		this.faults = List.copyOf(faults);
	}

	/**
	 * Creates an exception with one fault and its cause.
	 * @param fault the fault
	 * @param cause the cause
	 */
	public SettingsException(SettingFault fault, Throwable cause) {
		super(fault.toString(), cause);
		this.faults = List.of(fault);
	}

	/**
	 * Returns the faults.
	 * @return the faults
	 */
	public List<SettingFault> faults() {
		return this.faults;
	}

}
